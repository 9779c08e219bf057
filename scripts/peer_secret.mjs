/** The secret that the daemons of a deployment share, as the build places it. */
import {createHash} from 'node:crypto';
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** The deployment's own secret; takes precedence over the derived one. */
const DEPLOYED_FILE = 'deploy/peer.secret';

/**
 * Reads the secret for a build in `folder`.
 *
 * Builds of one deployment in different folders, as of two versions that run side
 * by side during an upgrade, must have the same. Without a file of the deployment
 * it is derived from the name of the program: it then keeps out connections that
 * went astray, and nobody who has the sources.
 */
export function readPeerSecret(folder = '.') {
  const file = join(folder, DEPLOYED_FILE);
  if (existsSync(file)) return readFileSync(file, 'utf8').trim();
  const {name} = JSON.parse(readFileSync(join(folder, 'package.json'), 'utf8'));
  return createHash('sha256').update(`peers of ${name}`).digest('hex');
}
