/** Bar plots with ranges as SVG. */
import type {Spread} from '../report';

/** One bar with its range. */
export interface PlotBar {
  label: string;
  spread: Spread;
}

const WIDTH = 640;
const ROW_HEIGHT = 34;
const LABEL_WIDTH = 120;
const VALUE_WIDTH = 80;
const TOP = 44;
const BAR_HEIGHT = 18;

function encodeText(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;');
}

/** Renders horizontal bars of the medians with lines from least to largest. */
export function renderBarPlot(
  title: string,
  bars: readonly PlotBar[],
  formatValue: (value: number) => string,
): string {
  const largest = Math.max(1e-9, ...bars.map(bar => bar.spread.largest));
  const room = WIDTH - LABEL_WIDTH - VALUE_WIDTH;
  const toX = (value: number): string =>
    (LABEL_WIDTH + (Math.max(0, value) / largest) * room).toFixed(1);
  const height = TOP + bars.length * ROW_HEIGHT;
  const rows = bars.map(({label, spread}, index) => {
    const y = TOP + index * ROW_HEIGHT;
    const middle = y + BAR_HEIGHT / 2;
    const width = (Number(toX(spread.median)) - LABEL_WIDTH).toFixed(1);
    const isFirst = index === 0;
    return [
      `<text x="${LABEL_WIDTH - 8}" y="${middle + 4}" text-anchor="end">${encodeText(label)}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${y}" width="${width}" height="${BAR_HEIGHT}" fill="${isFirst ? '#2c6e49' : '#9aa5b1'}"/>`,
      `<line x1="${toX(spread.least)}" y1="${middle}" x2="${toX(spread.largest)}" y2="${middle}" stroke="#222" stroke-width="2"/>`,
      `<text x="${WIDTH - VALUE_WIDTH + 8}" y="${middle + 4}">${encodeText(formatValue(spread.median))}</text>`,
    ].join('\n  ');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="13">`,
    `  <rect width="${WIDTH}" height="${height}" fill="white"/>`,
    `  <text x="8" y="24" font-size="15">${encodeText(title)}</text>`,
    ...rows.map(row => `  ${row}`),
    '</svg>',
    '',
  ].join('\n');
}
