/** Demo that runs a small system as separate processes. */
export {runDemo} from './demo';
