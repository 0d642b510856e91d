/**
 * Splits an address such as `10.0.1.4:8080` or `[::1]:8080`. Does not validate
 * it: the schemas of settings and configuration have done so.
 */
export function parseSocketAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
