/** Measures of policies, path overhead and capacity. */
export {runMeasureCommand} from './command';
