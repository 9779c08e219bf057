/** Digests that identify declarations of equal content. */
import {createHash} from 'node:crypto';
import canonicalize from 'canonicalize';
import type {Declaration} from './declaration.ts';

/**
 * Returns the SHA-256 of the content, in hexadecimal.
 *
 * The declaration must be parsed already, so that its defaults are filled in;
 * then neither the order of keys nor an explicit default affects the digest.
 */
export function digestDeclaration(declaration: Declaration): string {
  const text = canonicalize(declaration) ?? '';
  return createHash('sha256').update(text).digest('hex');
}
