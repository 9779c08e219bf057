/** Tells whether anything accepts connections at an address. */
import {connect} from 'node:net';
import {splitAddress} from '../../protocol/address.ts';

/**
 * A connection that is reset within this time was not accepted, in ms: twice a
 * round trip between regions, and more.
 */
const STAY_MS = 150;

/** Opens a connection and closes it; whether that succeeded in time. */
export function testAddress(
  address: string,
  timeoutMs: number,
): Promise<boolean> {
  const [host, port] = splitAddress(address);
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (isReached: boolean) => {
      resolve(isReached);
      socket.destroy();
    };
    socket.setTimeout(timeoutMs, () => finish(false));
    socket.once('connect', () => setTimeout(() => finish(true), STAY_MS));
    socket.once('close', () => finish(false));
    // The connection failed, which is the result.
    socket.once('error', () => finish(false));
  });
}
