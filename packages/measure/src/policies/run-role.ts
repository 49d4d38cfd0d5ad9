/** Runs a role with the parts of a policy in place of the product's own. */
import {asFunction} from 'awilix';
import {cac} from 'cac';
import {runEntry, runSide} from '@siskinplank/cli';
import type {EntryContainer, EntryCradle, ExitStatus} from '@siskinplank/cli';
import {createEvenSplitLimiter} from '@siskinplank/limits';
import {
  PlacementPolicy,
  PlacementPolicyName,
  createPlacementPolicy,
} from '@siskinplank/placement';
import type {PlacementInput} from '@siskinplank/placement';
import type {Placement} from '@siskinplank/resources';
import {RoutingPolicyName, createRoutingPolicy} from '@siskinplank/routing';
import type {EntrySettings} from '@siskinplank/settings';
import {PolicyName} from './names';

/** Time for which demand is collected before the static placement is computed. */
const STATIC_DELAY_MS = 4_000;

/**
 * Delays a policy until there has been demand for a while: a static placement
 * made from no demand would stay empty.
 */
class DelayedPlacementPolicy extends PlacementPolicy {
  private firstDemandMs: number | undefined;

  constructor(private readonly policy: PlacementPolicy) {
    super();
  }

  override computePlacements(
    input: PlacementInput,
    nowMs: number,
  ): readonly Placement[] {
    if (input.demand.some(({tokensPerSecond}) => tokensPerSecond > 0)) {
      this.firstDemandMs ??= nowMs;
    }
    if (this.firstDemandMs === undefined) return [];
    if (nowMs - this.firstDemandMs < STATIC_DELAY_MS) return [];
    return this.policy.computePlacements(input, nowMs);
  }
}

function registerPlacementPolicy(
  container: EntryContainer,
  name: PlacementPolicyName,
): void {
  const settings = container.cradle.settings as EntrySettings;
  const {attainmentWeight, tokensPerAccelerator} = settings.placement;
  const policy = createPlacementPolicy(name, {
    attainmentWeight,
    tokensPerAccelerator,
  });
  container.register({
    placementPolicy: asFunction(() =>
      name === PlacementPolicyName.Static
        ? new DelayedPlacementPolicy(policy)
        : policy,
    ).singleton(),
  });
}

function registerRouting(
  container: EntryContainer,
  name: RoutingPolicyName,
): void {
  container.register({
    routing: asFunction((cradle: EntryCradle) =>
      createRoutingPolicy(name, cradle.random),
    ).singleton(),
  });
}

function registerEvenSplit(container: EntryContainer): void {
  const settings = container.cradle.settings as EntrySettings;
  container.register({
    limiter: asFunction((cradle: EntryCradle) =>
      createEvenSplitLimiter({...cradle, settings: settings.limits}),
    ).singleton(),
  });
}

function registerPolicy(container: EntryContainer, name: PolicyName): void {
  switch (name) {
    case PolicyName.Siskinplank:
      return;
    case PolicyName.Static:
      registerPlacementPolicy(container, PlacementPolicyName.Static);
      return registerRouting(container, RoutingPolicyName.RoundRobin);
    case PolicyName.Greedy:
      registerPlacementPolicy(container, PlacementPolicyName.Greedy);
      return registerRouting(container, RoutingPolicyName.LeastLoadedReport);
    case PolicyName.LeastLoaded:
      return registerRouting(container, RoutingPolicyName.LeastLoadedReport);
    case PolicyName.EvenSplit:
      return registerEvenSplit(container);
  }
}

/** Runs `entry|side --settings FILE`. */
export function runRoleUnderPolicy(
  name: PolicyName,
  argv: readonly string[],
): Promise<ExitStatus> {
  const {args, options} = cac().parse([...argv], {run: false});
  const file = options.settings as string | undefined;
  if (args[0] === 'side') return runSide(file);
  return runEntry(file, container => registerPolicy(container, name));
}
