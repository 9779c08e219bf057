/** Reads secrets from the files listed in the settings. */
import {readFile} from 'node:fs/promises';
import type {Settings} from '../../protocol/settings.ts';

/** The secrets of one daemon. Never log or print them. */
export interface Secrets {
  readonly peer: string;
  readonly operator: string;
  readonly endpoint: string;
}

/** Reads all secrets; throws if a file is missing or empty. */
export async function readSecrets(
  files: Settings['secrets'],
): Promise<Secrets> {
  return {
    peer: await readSecret(files.peer_file),
    operator: await readSecret(files.operator_file),
    endpoint: await readSecret(files.endpoint_file),
  };
}

/** Reads one secret file and trims surrounding white space. */
export async function readSecret(file: string): Promise<string> {
  const secret = (await readFile(file, 'utf8')).trim();
  if (secret === '')
    throw new Error(`Could not use secret "${file}": it is empty`);
  return secret;
}
