/** Reads a declaration file and prints its mistakes. */
import {readFile} from 'node:fs/promises';
import {checkDeclaration} from '../../protocol/check_declaration.ts';
import {
  declarationSchema,
  type Declaration,
} from '../../protocol/declaration.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';
import {exitCodes} from './connection.ts';

/**
 * Returns the declaration. If it is invalid, prints the mistakes, sets the exit
 * code and returns `null`.
 */
export async function readDeclaration(
  file: string,
): Promise<Declaration | null> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    console.error(`Could not read "${file}": ${(error as Error).message}`);
    process.exitCode = exitCodes.usage;
    return null;
  }
  const parsed = parseToml(text, declarationSchema, checkDeclaration);
  if (parsed.ok) return parsed.value;
  for (const issue of parsed.error) console.error(formatIssue(file, issue));
  process.exitCode = exitCodes.usage;
  return null;
}
