/** Variant: the memory ledger counts only what the last report shows. */
import {asValue} from 'awilix';
import {createMemoryLedger} from '@siskinplank/side';
import type {LedgerLimits, MemoryLedger} from '@siskinplank/side';
import {runVariant} from './run-variant';

type Order = Parameters<MemoryLedger['addOrder']>[0];

function createTrustingLedger(limits: LedgerLimits): MemoryLedger {
  const ledger = createMemoryLedger(limits);
  let reportedFreeMiB = 0;
  // Orders without a size reserve nothing.
  const stripSize = (order: Order): Order =>
    order.type.startsWith('load') ? {...order, memoryMiB: 0} : order;
  return {
    ...ledger,
    addOrder: order =>
      (!order.type.startsWith('load') || order.memoryMiB <= reportedFreeMiB) &&
      ledger.addOrder(stripSize(order)),
    trackOrder: order => ledger.trackOrder(stripSize(order)),
    applyReport: (status, nowMs) => {
      reportedFreeMiB =
        status.totalMemoryMiB - status.usedMemoryMiB - limits.marginMiB;
      return ledger.applyReport(status, nowMs);
    },
    getFreeMiB: () => reportedFreeMiB,
  };
}

await runVariant({
  customizeSide: container =>
    void container.register({createLedger: asValue(createTrustingLedger)}),
});
