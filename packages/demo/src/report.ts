/** Prints the results of the demo and counts failed checks. */

/** Output and check results of a demo run. */
export interface DemoReport {
  print(line: string): void;
  /** Prints the result of a check and counts a failure. */
  recordCheck(text: string, hasPassed: boolean): void;
  countFailures(): number;
}

/** Creates an empty report. */
export function createDemoReport(
  write: (line: string) => void = line => process.stdout.write(`${line}\n`),
): DemoReport {
  let failures = 0;
  return {
    print: write,
    recordCheck: (text, hasPassed) => {
      if (!hasPassed) failures += 1;
      write(`  ${hasPassed ? 'ok' : 'FAILED'}: ${text}`);
    },
    countFailures: () => failures,
  };
}
