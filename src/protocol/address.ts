/**
 * Addresses of daemons and endpoints: an IPv4 address and a port.
 *
 * Names and other address families are refused, so that every address that was
 * accepted can be connected to without a look-up.
 */
import {isIPv4} from 'node:net';
import * as z from 'zod';

/** The length of `255.255.255.255:65535`. */
const MAX_ADDRESS_CHARACTERS = 21;

const MAX_PORT = 65_535;

/** Connecting to it would reach the connecting host itself. */
const UNSPECIFIED_HOST = '0.0.0.0';

const MESSAGE = 'expected an IP number and a port, such as "10.0.0.1:8080"';

/** An address to listen at. */
export const listenAddressSchema = z
  .string()
  .max(MAX_ADDRESS_CHARACTERS, {message: MESSAGE})
  .refine(isAddress, {message: MESSAGE});

/** An address to connect to. */
export const addressSchema = listenAddressSchema.refine(
  address => splitAddress(address)[0] !== UNSPECIFIED_HOST,
  {message: 'expected an address that other hosts can connect to'},
);

/** Returns the host and the port of `host:port`. */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

function isAddress(address: string): boolean {
  const [host, port] = splitAddress(address);
  const isPort = /:[1-9]\d{0,4}$/.test(address) && port <= MAX_PORT;
  return isPort && isIPv4(host);
}
