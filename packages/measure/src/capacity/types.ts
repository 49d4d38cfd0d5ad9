/** What the capacity measures report. */

/** One measured figure. */
export interface Figure {
  /** Group, such as `decision`, `heap`, `wire`, `platform` or `process`. */
  group: string;
  name: string;
  /** Size that the figure was taken at, such as `upstreams=920`. */
  size: string;
  value: number;
  unit: string;
}

/** Growth of a figure with one size, by least squares. */
export interface Slope {
  name: string;
  /** Size that grows. */
  by: string;
  perUnit: number;
  atZero: number;
  unit: string;
  /** Figures that the line was fitted to. */
  points: number;
}

/** Everything that one run of the command measured. */
export interface CapacityReport {
  startedAt: string;
  processors: number;
  loadAverage: number;
  figures: Figure[];
  slopes: Slope[];
}

/** Collects figures and prints each as it comes. */
export interface FigureSink {
  add(figure: Figure): void;
  /** Adds a figure at several sizes and the slope through them. */
  addSeries(
    group: string,
    name: string,
    by: string,
    points: ReadonlyArray<{size: number; value: number}>,
    unit: string,
  ): void;
}
