/** Collects figures, fits slopes and prints lines. */
import type {CapacityReport, FigureSink} from './types';

/** Fits a line by least squares. */
export function computeSlope(
  points: ReadonlyArray<{size: number; value: number}>,
): {perUnit: number; atZero: number} {
  const count = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
  let products = 0;
  let squares = 0;
  for (const {size, value} of points) {
    products += (size - meanSize) * (value - meanValue);
    squares += (size - meanSize) ** 2;
  }
  const perUnit = squares === 0 ? 0 : products / squares;
  return {perUnit, atZero: meanValue - perUnit * meanSize};
}

/** Formats with 4 significant digits. */
export function formatNumber(value: number): string {
  return String(Number(value.toPrecision(4)));
}

/** Creates a sink that fills `report`. */
export function createFigureSink(report: CapacityReport): FigureSink {
  const sink: FigureSink = {
    add: figure => {
      report.figures.push(figure);
      const {group, name, size, value, unit} = figure;
      process.stdout.write(
        `${group}  ${name}  ${size}  ${formatNumber(value)} ${unit}\n`,
      );
    },
    addSeries: (group, name, by, points, unit) => {
      for (const {size, value} of points) {
        sink.add({group, name, size: `${by}=${size}`, value, unit});
      }
      const {perUnit, atZero} = computeSlope(points);
      report.slopes.push({
        name,
        by,
        perUnit,
        atZero,
        unit,
        points: points.length,
      });
      process.stdout.write(
        `slope  ${name}  ${formatNumber(perUnit)} ${unit} for each of ${by}, ` +
          `${formatNumber(atZero)} ${unit} at none\n`,
      );
    },
  };
  return sink;
}
