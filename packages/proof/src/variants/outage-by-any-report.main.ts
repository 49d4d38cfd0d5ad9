/** Variant: any report of another process counts as an outage of the platform. */
import {OutageRule} from '@siskinplank/configuration';
import type {OutageEvidence} from '@siskinplank/configuration';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

class AnyReportRule extends OutageRule {
  isOutage({ownName, reports}: OutageEvidence): boolean {
    return reports.some(({reporter}) => reporter !== ownName);
  }
}

await runVariant({
  customizeEntry: container =>
    replacePart(container, 'outageRule', () => new AnyReportRule()),
  customizeSide: container =>
    replacePart(container, 'outageRule', () => new AnyReportRule()),
});
