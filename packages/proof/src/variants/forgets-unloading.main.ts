/** Variant: the ledger drops a version as soon as its unloading is ordered. */
import {asValue} from 'awilix';
import {createMemoryLedger} from '@siskinplank/side';
import type {LedgerLimits, MemoryLedger} from '@siskinplank/side';
import {runVariant} from './run-variant';

function createForgetfulLedger(limits: LedgerLimits): MemoryLedger {
  const ledger = createMemoryLedger(limits);
  const getUnloadingMiB = (): number =>
    ledger
      .listPending()
      .filter(({order}) => order.type.startsWith('unload'))
      .reduce((sum, {order}) => sum + order.memoryMiB, 0);
  return {
    ...ledger,
    // The ledger itself refuses a load without room; one without a size fits.
    addOrder: order =>
      order.type.startsWith('load')
        ? order.memoryMiB <= ledger.getFreeMiB() + getUnloadingMiB() &&
          ledger.addOrder({...order, memoryMiB: 0})
        : ledger.addOrder(order),
    getFreeMiB: () => ledger.getFreeMiB() + getUnloadingMiB(),
  };
}

await runVariant({
  customizeSide: container =>
    void container.register({createLedger: asValue(createForgetfulLedger)}),
});
