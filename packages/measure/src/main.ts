/** Measures the policies: `npm run measure -- --deployment plaksne|banat`. */
import {runMeasureCommand} from './command';

process.exit(await runMeasureCommand(process.argv));
