import {UpstreamState} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createUpstreamTable} from './upstream-table';
import {mayAwaitVersionLoad} from './version-load';

describe('a stream that waits for a load at its version', () => {
  // Guards against a wait for a load that ends after the caller has left.
  it('is refused at once if no upstream has the model and a load takes too long', () => {
    const table = createUpstreamTable();
    table.setUpstreams(
      ['1', '2'].map(softwareVersion => ({
        id: softwareVersion,
        service: 'llm',
        address: {host: '10.0.0.1', port: 80},
        failureDomain: 'a',
        softwareVersion,
        slots: 8,
        state: UpstreamState.Ready,
        startedAtMs: 1,
        models: [],
        orderSequence: 0,
        remainingMs: undefined,
      })),
    );
    const mayAwait = mayAwaitVersionLoad({
      model: 'm',
      softwareVersion: '1',
      entries: table.listServiceUpstreams('llm'),
      storeLoadMs: 8_600,
      targetLatencyMs: 500,
      targetPauseMs: undefined,
      arrivedAtMs: 0,
      deadlineAtMs: 20_000,
      nowMs: 0,
    });
    expect(mayAwait).toBe(false);
  });
});
