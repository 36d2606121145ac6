/**
 * Plain-text tables.
 *
 * @module
 */

/** Separator between two columns. */
const COLUMN_GAP = "  ";

/**
 * Formats rows under a heading; each column is as wide as its widest cell.
 *
 * @param heading Names of the columns.
 * @param rows Cells of each row.
 * @returns Table with a newline after each line.
 */
export function formatTable(heading: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [heading, ...rows];
    const widths = heading.map((name, column) => Math.max(...lines.map(line => line[column].length)));
    const format = (line: readonly string[]) =>
        line.map((cell, column) => cell.padEnd(widths[column])).join(COLUMN_GAP).trimEnd();
    return `${lines.map(format).join("\n")}\n`;
}
