/** Prints results as text or JSON. */

/** How results are printed. */
export enum OutputFormat {
  Text = 'text',
  Json = 'json',
}

/** Writes one line of results. */
export type PrintLine = (line: string) => void;

/** Renders rows as columns of equal width. */
export function renderTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string[] {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
}

/** Renders JSON; 64-bit numbers become strings, as in Connect's JSON. */
export function renderJson(value: unknown): string {
  return JSON.stringify(
    value,
    (_, item: unknown) => (typeof item === 'bigint' ? String(item) : item),
    2,
  );
}
