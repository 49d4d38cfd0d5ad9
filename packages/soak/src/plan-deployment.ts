/** Draws the planned work on a whole deployment: stops in series, and work beside them. */
import type {Random} from '@siskinplank/foundation';
import {GRACE_MS} from './checks/bounds';
import type {DeploymentVariant} from './deployment';
import {FaultKind} from './history';
import type {PlanInput, PlannedFault} from './plan';
import {StopCompanion} from './plan-stops';
import type {PlannedStop} from './plan-stops';

/** Range of the times from the start of a gateway to its next stop. */
const MIN_RESTOP_MS = 2_000;
const MAX_RESTOP_MS = 4_000;
/** Fraction of the stops before which a gateway runs for longer. */
const CALM_FRACTION = 0.3;
const MIN_CALM_MS = 6_000;
const MAX_CALM_MS = 14_000;
const RESTART_AFTER_MS = 1_000;
const FIRST_STOP_MS = 4_000;
/** Range of the first stops, which spreads the gateways over a period. */
const PHASE_RANGE_MS = 11_500;
const KILL_FRACTION = 0.12;
const MOVE_FRACTION = 0.2;
const COMPANION_FRACTION = 0.5;
const MAX_COMPANION_MS = 1_000;
const MEAN_RELEASE_GAP_MS = 12_000;
const MAX_RELEASED = 4;
const RELEASE_GAP_MS = 1_000;
const MAX_AWAY_MS = 5_000;
/** Time that an upstream serves on after the least time to leave. */
const MAX_LINGER_MS = 4_000;
const MEAN_CHANGE_GAP_MS = 6_000;
const MEAN_SILENCE_GAP_MS = 4_000;
const SILENCE_MS = 3_000;

/** Draws the stops of one gateway until `toMs`, counting the whole grace each. */
function planSeries(
  random: Random,
  variant: DeploymentVariant,
  fromMs: number,
  toMs: number,
): PlannedStop[] {
  const companions = Object.values(StopCompanion);
  const draw = (fraction: number): boolean => random.getNext() < fraction;
  const drawFrom = (min: number, max: number): number =>
    min + random.getNext() * (max - min);
  const stops: PlannedStop[] = [];
  let atMs = fromMs;
  while (atMs < toMs) {
    const afterStartMs = draw(CALM_FRACTION)
      ? drawFrom(MIN_CALM_MS, MAX_CALM_MS)
      : drawFrom(MIN_RESTOP_MS, MAX_RESTOP_MS);
    stops.push({
      afterStartMs,
      companion: draw(COMPANION_FRACTION)
        ? companions[random.getInteger(companions.length)]
        : StopCompanion.None,
      companionMs: random.getNext() * MAX_COMPANION_MS,
      restartAfterMs: RESTART_AFTER_MS,
      isKill: draw(KILL_FRACTION) && variant.hasKills,
      isMove: draw(MOVE_FRACTION) && variant.hasMoves,
    });
    atMs += GRACE_MS + RESTART_AFTER_MS + afterStartMs;
  }
  return stops;
}

/** Draws the faults of a soak of a whole deployment. */
export function planDeployment(
  random: Random,
  variant: DeploymentVariant,
  {gatewayCount, upstreamCount, lengthMs, calmMs}: PlanInput,
): PlannedFault[] {
  const lastMs = lengthMs - calmMs;
  const faults: PlannedFault[] = [];
  const addFault = (
    kind: FaultKind,
    target: number,
    atMs: number,
    rest: Partial<PlannedFault> = {},
  ): void => {
    if (atMs > lastMs) return;
    const drawn = {forMs: 0, variant: random.getNext()};
    faults.push({kind, target, atMs, ...drawn, ...rest});
  };
  const addRepeatedly = (
    meanGapMs: number,
    add: (atMs: number) => void,
  ): void => {
    let atMs = FIRST_STOP_MS;
    while (atMs < lastMs) {
      add(atMs);
      atMs += -Math.log(1 - random.getNext()) * meanGapMs;
    }
  };
  for (let target = 0; target < gatewayCount; target += 1) {
    const atMs = FIRST_STOP_MS + random.getNext() * PHASE_RANGE_MS;
    const stops = planSeries(random, variant, atMs, lastMs - GRACE_MS);
    addFault(FaultKind.GatewayStopSeries, target, atMs, {stops});
  }
  addRepeatedly(MEAN_CHANGE_GAP_MS, atMs =>
    addFault(FaultKind.LimitChanged, 0, atMs),
  );
  if (variant.hasReleases) {
    addRepeatedly(MEAN_RELEASE_GAP_MS, atMs => {
      const first = random.getInteger(upstreamCount);
      const count = 1 + random.getInteger(MAX_RELEASED);
      for (let index = 0; index < count; index += 1) {
        const target = (first + index) % upstreamCount;
        addFault(
          FaultKind.UpstreamDrain,
          target,
          atMs + index * RELEASE_GAP_MS,
          {
            forMs: random.getNext() * MAX_LINGER_MS,
            // Half of the upstreams are replaced at once.
            awayMs: Math.max(0, random.getNext() - 0.5) * 2 * MAX_AWAY_MS,
          },
        );
      }
    });
  }
  if (variant.hasSilences) {
    addRepeatedly(MEAN_SILENCE_GAP_MS, atMs =>
      addFault(
        FaultKind.UpstreamSilent,
        random.getInteger(upstreamCount),
        atMs,
        {forMs: SILENCE_MS},
      ),
    );
  }
  return faults;
}
