import {createSystemClock} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {drainCallers} from './caller-drain';

const STOP_MS = 400;
const TOLERANCE_MS = 150;

describe('drain of callers', () => {
  const clock = createSystemClock();

  /** Callers with `unread` requests that have arrived and are not read. */
  const createCallers = (open: Set<string>, unread: string[]) => ({
    cut: [] as string[],
    readArrived: async (): Promise<void> => {
      for (const name of unread.splice(0)) open.add(name);
    },
    close: async (): Promise<void> => undefined,
    endConnections: () => undefined,
    countLingering: () => 0,
    closeAllConnections(): void {
      this.cut = [...open, ...unread];
    },
  });

  it('closes no connection whose request has arrived and was not read', async () => {
    const open = new Set<string>();
    const callers = createCallers(open, ['late']);
    setTimeout(() => open.delete('late'), STOP_MS / 4);
    await drainCallers({
      callers,
      handler: {countOpen: () => open.size, endOpen: () => undefined},
      clock,
      noticeMs: 0,
      stopAtMs: clock.getNowMs() + STOP_MS,
    });
    expect(callers.cut).toEqual([]);
  });

  it('ends open requests at the end of the grace before it closes connections', async () => {
    const open = new Set(['hanging']);
    const callers = createCallers(open, []);
    const startedAtMs = clock.getNowMs();
    await drainCallers({
      callers,
      handler: {countOpen: () => open.size, endOpen: () => open.clear()},
      clock,
      noticeMs: 0,
      stopAtMs: startedAtMs + STOP_MS,
    });
    const tookMs = clock.getNowMs() - startedAtMs;
    expect(callers.cut).toEqual([]);
    expect(tookMs).toBeGreaterThanOrEqual(STOP_MS);
    expect(tookMs).toBeLessThan(STOP_MS + TOLERANCE_MS);
  });

  // `readArrived` takes several turns of the event loop, in each of which
  // requests are read.
  it.each([1, 2])(
    'ends no request that is read in round %i of the last look before the end of the grace',
    async round => {
      const open = new Set<string>();
      const ended: string[] = [];
      let rounds = 0;
      await drainCallers({
        callers: {
          ...createCallers(open, []),
          readArrived: async () => {
            rounds += 1;
            if (rounds !== round) return;
            open.add('late');
            setTimeout(() => open.delete('late'), STOP_MS / 4);
          },
        },
        handler: {
          countOpen: () => open.size,
          endOpen: () => void ended.push(...open),
        },
        clock,
        noticeMs: 0,
        stopAtMs: clock.getNowMs() + STOP_MS,
      });
      expect(ended).toEqual([]);
    },
  );

  it.each([
    ['when they close', STOP_MS / 4, STOP_MS / 2],
    ['when the grace ends', Infinity, STOP_MS + TOLERANCE_MS],
  ])(
    'leaves callers time to receive their responses and returns %s',
    async (_, closeMs, maxMs) => {
      const startedAtMs = clock.getNowMs();
      let endedAtMs = Infinity;
      const hasClosed = (): boolean => clock.getNowMs() >= endedAtMs + closeMs;
      let wasCut = false;
      await drainCallers({
        callers: {
          ...createCallers(new Set(), []),
          endConnections: () => {
            endedAtMs = clock.getNowMs();
          },
          countLingering: () => (hasClosed() ? 0 : 1),
          closeAllConnections: () => {
            wasCut = !hasClosed();
          },
        },
        handler: {countOpen: () => 0, endOpen: () => undefined},
        clock,
        noticeMs: 0,
        stopAtMs: startedAtMs + STOP_MS,
      });
      expect(wasCut).toBe(closeMs === Infinity);
      expect(clock.getNowMs() - startedAtMs).toBeLessThan(maxMs);
    },
  );

  it('ends soon when no request is open', async () => {
    const open = new Set<string>();
    const startedAtMs = clock.getNowMs();
    await drainCallers({
      callers: createCallers(open, []),
      handler: {countOpen: () => open.size, endOpen: () => undefined},
      clock,
      noticeMs: 0,
      stopAtMs: startedAtMs + 10 * STOP_MS,
    });
    expect(clock.getNowMs() - startedAtMs).toBeLessThan(STOP_MS);
  });
});
