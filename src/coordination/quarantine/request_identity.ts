/**
 * The identity of a request: equal for each sending of the same request, at any
 * gateway, and different for requests of different callers.
 */
import {createHash, type Hash} from 'node:crypto';
import type {AdmittedCall} from '../forwarding/admit_call.ts';

const ALGORITHM = 'sha256';

/** The length of an identity in hexadecimal digits: 128 bits. */
const IDENTITY_CHARACTERS = 32;

export interface BodyDigestOptions {
  /**
   * Whether the body is digested as it arrives; false by default. Otherwise it is
   * digested when the digest is first needed.
   */
  readonly isEager?: boolean;
}

/** The digest of one body. */
export class BodyDigest {
  private hash: Hash | null;
  private value: string | null = null;

  constructor({isEager = false}: BodyDigestOptions = {}) {
    this.hash = isEager ? createHash(ALGORITHM) : null;
  }

  /** Adds the next chunk of the body. */
  add(chunk: Uint8Array): void {
    this.hash?.update(chunk);
  }

  /** Returns the digest of the body, which has arrived whole. */
  compute(body: Uint8Array): string {
    this.value ??= (this.hash ?? createHash(ALGORITHM).update(body)).digest(
      'hex',
    );
    this.hash = null;
    return this.value;
  }
}

/** Computes the identity of an admitted request. */
export function computeRequestIdentity({
  call,
  caller,
  route,
}: Pick<AdmittedCall, 'call' | 'caller' | 'route'>): string {
  const place = [caller, call.method, route.host, call.path];
  return createHash(ALGORITHM)
    .update(JSON.stringify(place))
    .update(call.digestBody())
    .digest('hex')
    .slice(0, IDENTITY_CHARACTERS);
}
