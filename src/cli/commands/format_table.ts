/** Formats rows as a table for a terminal. */
import Table from 'cli-table3';

/** Returns an aligned table without rules, or `(none)` without rows. */
export function formatTable(
  head: readonly string[],
  rows: ReadonlyArray<readonly unknown[]>,
): string {
  if (rows.length === 0) return '  (none)';
  const empty = {
    ...{top: '', 'top-mid': '', 'top-left': '', 'top-right': ''},
    ...{bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': ''},
    ...{left: ' ', 'left-mid': '', mid: '', 'mid-mid': ''},
    ...{right: '', 'right-mid': '', middle: ' '},
  };
  const table = new Table({
    head: [...head],
    chars: empty,
    style: {head: [], border: [], compact: true},
  });
  table.push(...rows.map(row => row.map(cell => String(cell ?? '-'))));
  return table.toString();
}
