/** Formats the results of the fault matrix as Markdown. */
import {formatCell, type Cell} from './cells.ts';

export interface CellResult {
  readonly cell: Cell;
  /** Violations; empty if the cell passed. */
  readonly violations: readonly string[];
  readonly seconds: number;
}

export function formatReport(
  results: readonly CellResult[],
  total: number,
  args: readonly string[],
): string {
  const failed = results.filter(result => result.violations.length > 0);
  const steps = [...new Set(results.map(result => result.cell.step))].sort();
  const rows = [...new Set(results.map(({cell}) => cell.row.join(' + ')))];
  const find = (row: string, step: string) =>
    results.find(
      ({cell}) => cell.row.join(' + ') === row && cell.step === step,
    );
  const lines = [
    '# The fault matrix',
    '',
    `Of ${total} cells ${results.length} ran, ` +
      `${results.length - failed.length} passed and ${failed.length} failed.`,
    `Command: \`npm run matrix -- ${args.slice(2).join(' ')}\`.`,
    'One cell again: `npm run matrix -- --cell "ROW @ STEP"`.',
    'In the table `+` passed, `F` failed, and an empty field was not run.',
    '',
    `| fault | ${steps.join(' | ')} |`,
    `|---|${steps.map(() => '---').join('|')}|`,
    ...rows.map(row => {
      const fields = steps.map(step => {
        const result = find(row, step);
        if (!result) return ' ';
        return result.violations.length === 0 ? '+' : 'F';
      });
      return `| ${row} | ${fields.join(' | ')} |`;
    }),
    '',
    ...(failed.length === 0 ? [] : ['## Failed', '']),
    ...failed.map(
      result =>
        `- \`${formatCell(result.cell)}\`: ${result.violations.join('; ')}`,
    ),
    '',
  ];
  return lines.join('\n');
}
