/** Runs the demo: `npm run demo`. */
import {runDemo} from './demo';

process.exit(await runDemo());
