/** Returns the host and the port of `host:port`. */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
