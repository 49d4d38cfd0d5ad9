/**
 * Counts the replicas of models by software version. A stream goes on only at
 * the version that began it, so it is lost with an upstream whose version has no
 * further replica of the model.
 */

/** An upstream with its models. */
interface VersionedUpstream {
  softwareVersion: string;
  serving: ReadonlySet<string>;
}

/** Replicas of models, by software version. */
export interface ReplicaVersions {
  /** Adds replicas of a model; `change` may be negative. */
  add(model: string, softwareVersion: string, change: number): void;
  getCount(model: string, softwareVersion: string): number;
  /** Whether a replica of the model is the only one of its version. */
  hasLone(model: string): boolean;
  /**
   * Computes which fraction of a model's replicas would be the only ones of
   * their version after `change` replicas were added at `softwareVersion`. Zero
   * if all upstreams have one version.
   */
  computeLoneFraction(
    model: string,
    change: number,
    softwareVersion: string,
  ): number;
}

/** Creates the counts of the models that the upstreams serve. */
export function createReplicaVersions(
  upstreams: readonly VersionedUpstream[],
): ReplicaVersions {
  const versions = new Set(
    upstreams.map(({softwareVersion}) => softwareVersion),
  );
  const counts = new Map<string, Map<string, number>>();

  const add = (
    model: string,
    softwareVersion: string,
    change: number,
  ): void => {
    const known = counts.get(model) ?? new Map<string, number>();
    counts.set(model, known);
    known.set(softwareVersion, (known.get(softwareVersion) ?? 0) + change);
  };

  for (const {softwareVersion, serving} of upstreams) {
    for (const model of serving) add(model, softwareVersion, 1);
  }

  const computeLoneFraction: ReplicaVersions['computeLoneFraction'] = (
    model,
    change,
    softwareVersion,
  ) => {
    if (versions.size < 2) return 0;
    let replicas = 0;
    let lone = 0;
    for (const version of versions) {
      const known = counts.get(model)?.get(version) ?? 0;
      const count = known + (version === softwareVersion ? change : 0);
      replicas += count;
      if (count === 1) lone += 1;
    }
    return replicas === 0 ? 0 : lone / replicas;
  };

  return {
    add,
    getCount: (model, softwareVersion) =>
      counts.get(model)?.get(softwareVersion) ?? 0,
    computeLoneFraction,
    hasLone: model => computeLoneFraction(model, 0, '') > 0,
  };
}
