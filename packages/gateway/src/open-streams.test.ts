import {OriginVerdictType} from '@siskinplank/stream-origins';
import {describe, expect, it} from 'vitest';
import {
  createOriginFleet,
  makeRequest,
  makeTarget,
  startStream,
} from './testing/origin-fleet';

describe('streams that are open when their gateway stands still', () => {
  const STREAM_MS = 1_600;
  const STREAM_PERIOD_MS = 250;

  // Guards against messages that are as rare as streams are long: 57 events of 3 tokens at 9.5 ms.
  it.each([4, 24, 68])(
    'are mostly known to another one of %i gateways',
    async count => {
      const fleet = createOriginFleet();
      const {clock} = fleet;
      const names = Array.from({length: count}, (_, index) => `g${index}`);
      const [first, second] = names.map(name =>
        fleet.startGateway(name, ['1', '2']),
      );
      await fleet.run();
      const begun: Array<{attemptId: string; atMs: number}> = [];
      let openCount = 0;
      let knownCount = 0;
      for (let round = 0; round < 80; round += 1) {
        const attemptId = `a${round}`;
        startStream(first, attemptId, '1');
        begun.push({attemptId, atMs: clock.getNowMs()});
        await fleet.run(STREAM_PERIOD_MS / 2);
        const nowMs = clock.getNowMs();
        const open = begun.filter(({atMs}) => nowMs - atMs < STREAM_MS);
        openCount += open.length;
        knownCount += open.filter(stream => {
          const request = makeRequest('later', stream.attemptId);
          const target = makeTarget('s');
          const verdict = second.findOrigin(request, target, nowMs, nowMs);
          return verdict?.type === OriginVerdictType.Known;
        }).length;
        await fleet.run(STREAM_PERIOD_MS / 2);
      }
      expect(knownCount / openCount).toBeGreaterThan(0.5);
    },
  );
});
