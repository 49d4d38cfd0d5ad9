/** Variant: no report counts as an outage, so unconfirmed keys are refused. */
import {OutageRule} from '@siskinplank/configuration';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

class NoReportRule extends OutageRule {
  isOutage(): boolean {
    return false;
  }
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'outageRule', () => new NoReportRule()),
  customizeSide: container =>
    replacePart(container, 'outageRule', () => new NoReportRule()),
});
