/** Linear regression. */

export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination. */
  readonly r2: number;
}

/** Fits a line to points by least squares. */
export function fitLine(points: ReadonlyArray<{x: number; y: number}>): Line {
  const count = points.length;
  const mean = (pick: (point: {x: number; y: number}) => number) =>
    points.reduce((sum, point) => sum + pick(point), 0) / count;
  const meanX = mean(point => point.x);
  const meanY = mean(point => point.y);
  const sxy = mean(point => (point.x - meanX) * (point.y - meanY));
  const sxx = mean(point => (point.x - meanX) ** 2);
  const syy = mean(point => (point.y - meanY) ** 2);
  const slope = sxy / sxx;
  return {
    slope,
    intercept: meanY - slope * meanX,
    r2: syy === 0 ? 1 : sxy ** 2 / (sxx * syy),
  };
}
