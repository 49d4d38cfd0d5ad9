/** Policies that are measured. */

/** Names of the policy in force and of the baselines. */
export enum PolicyName {
  /** The product as it is. */
  Siskinplank = 'siskinplank',
  /** Static placement, routing in turn. */
  Static = 'static',
  /** Greedy placement, routing by the last load reports. */
  Greedy = 'greedy',
  /** The product's placement, routing by the last load reports. */
  LeastLoaded = 'least-loaded',
  /** The product with limits split evenly over the entry hosts. */
  EvenSplit = 'even-split',
}
