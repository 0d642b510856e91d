/** Socket addresses as settings and configuration write them. */

/** Splits `10.0.1.4:8080` or `[::1]:8080`, which the schemas have checked. */
export function parseSocketAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
