/** Exit status of the binary. */
export enum ExitStatus {
  Done = 0,
  Failed = 1,
  /** Invalid arguments or settings. */
  Usage = 2,
}
