/** Tests what load reports omit and what receivers reconstruct from them. */
import {createManualClock} from '@siskinplank/foundation';
import {
  MemberState,
  MessageType,
  ProcessRole,
  encodeMessage,
} from '@siskinplank/messages';
import type {Message} from '@siskinplank/messages';
import {createLoadTable} from '@siskinplank/routing';
import type {Link, LinkObserver, PeerNetwork} from '@siskinplank/transport';
import {describe, expect, it} from 'vitest';
import {createLoadReporter} from './reporter';

type Handler = (link: Link, message: Message) => void;

function createSetup(linkCount: number) {
  const clock = createManualClock(1_000);
  const observers: LinkObserver[] = [];
  const handlers: Array<{types: readonly string[]; handler: Handler}> = [];
  const sent: Message[][] = [];
  const tables = Array.from({length: linkCount}, () => createLoadTable());
  const links = tables.map((table, index): Link => {
    sent.push([]);
    return {
      id: `link-${index}`,
      peer: {name: `entry-${index}`, role: ProcessRole.Entry} as never,
      send: message => {
        sent[index].push(message);
        const nowMs = clock.getNowMs();
        if (message.type === MessageType.LoadReport) {
          table.recordReport(message.load, nowMs);
        }
        if (message.type === MessageType.LoadUpdate) {
          expect(table.recordUpdate(message, nowMs)).toBe(true);
        }
        return true;
      },
      isOpen: () => true,
      getBufferedBytes: () => 0,
      close: () => undefined,
    };
  });
  const network = {
    listLinks: () => links,
    observeLinks: (observer: LinkObserver) => {
      observers.push(observer);
      return () => undefined;
    },
    subscribe: (types: readonly string[], handler: Handler) => {
      handlers.push({types, handler});
      return () => undefined;
    },
  } as unknown as PeerNetwork;
  const load = {
    upstream: 'a',
    state: MemberState.Live,
    queuedRequests: 0,
    queuedTokens: 0,
    running: 0,
    maxConcurrency: 16,
    freeMemoryMiB: 100,
    models: ['birch'],
    loadingModels: [] as string[],
    adapters: [] as string[],
    demand: {birch: 12.5} as Record<string, number>,
    cachedPrefixes: [] as string[],
  };
  const reporter = createLoadReporter(network, clock, () => ({
    ...load,
    models: [...load.models],
    cachedPrefixes: [...load.cachedPrefixes],
  }));
  reporter.start();
  for (const link of links) observers[0].onLinkOpen?.(link);
  const receive = (index: number, message: Message): void => {
    for (const {types, handler} of handlers) {
      if (types.includes(message.type)) handler(links[index], message);
    }
  };
  const subscribe = (index: number, quietPeriodMs: number): void =>
    receive(index, {type: MessageType.LoadSubscribe, quietPeriodMs});
  const getLoad = (index: number) => tables[index].getLoad('a', 0).load;
  const countBytes = (index: number): number =>
    sent[index].reduce((sum, item) => sum + encodeMessage(item).length, 0);
  return {clock, load, reporter, sent, receive, subscribe, getLoad, countBytes};
}

const makeHashes = (first: number, count: number): string[] =>
  Array.from({length: count}, (_, index) => `hash-${first + index}`);

describe('load reporter', () => {
  // Reports omit unchanged values; receivers must still know the full load.
  it('keeps receivers of all reports exact while omitting unchanged values', () => {
    const {clock, load, getLoad, sent} = createSetup(1);
    for (let second = 0; second < 40; second += 1) {
      load.queuedTokens = second * 10;
      load.running = second % 5;
      if (second % 10 === 3) load.models = ['birch', `model-${second}`];
      if (second % 7 === 2) load.demand = {birch: second};
      load.cachedPrefixes = makeHashes(second * 20, 200);
      clock.runFor(1_000);
      const {sequence, ...known} = getLoad(0)!;
      expect(sequence).toBeGreaterThan(0);
      const order = (hashes: readonly string[]) => [...hashes].sort();
      expect({...known, cachedPrefixes: order(known.cachedPrefixes)}).toEqual({
        ...load,
        cachedPrefixes: order(load.cachedPrefixes),
      });
    }
    const full = sent[0].filter(({type}) => type === MessageType.LoadReport);
    expect(full).toHaveLength(5);
  });

  // The traffic of reports grows with the number of entry hosts and must stay
  // within its limit; changed models must still be reported in time.
  it('reports rarely on quiet links, but changed models within a period', () => {
    const {clock, load, receive, subscribe, getLoad, countBytes} =
      createSetup(2);
    load.cachedPrefixes = makeHashes(0, 256);
    subscribe(0, 4_000);
    subscribe(1, 4_000);
    const before = [countBytes(0), countBytes(1)];
    for (let second = 0; second < 40; second += 1) {
      if (second % 5 === 0) {
        receive(1, {type: MessageType.RequestOpen} as Message);
      }
      load.cachedPrefixes = makeHashes(second * 14, 256);
      load.queuedTokens = second;
      clock.runFor(1_000);
    }
    const quietRate = (countBytes(0) - before[0]) / 40;
    const activeRate = (countBytes(1) - before[1]) / 40;
    expect(quietRate).toBeLessThan(50);
    expect(activeRate).toBeLessThan(250);
    expect(getLoad(1)!.cachedPrefixes.at(-1)).toBe(load.cachedPrefixes.at(-1));
    load.loadingModels = ['oak'];
    clock.runFor(1_000);
    expect(getLoad(0)!.loadingModels).toEqual(['oak']);
  });

  // Otherwise receivers on quiet links would treat a leaving upstream as live,
  // and one without a full report could never apply updates again.
  it('reports a drain at once and resends the full report when asked', () => {
    const {load, reporter, sent, subscribe, getLoad} = createSetup(1);
    subscribe(0, 20_000);
    load.state = MemberState.Leaving;
    reporter.reportAll();
    expect(getLoad(0)!.state).toBe(MemberState.Leaving);
    subscribe(0, 20_000);
    expect(sent[0].at(-1)?.type).toBe(MessageType.LoadReport);
  });
});
