/** Parses IP addresses and CIDR prefixes to network bits. */
import ipaddr from 'ipaddr.js';

/** All 32 bits of an IPv4 address, or the first 64 bits of an IPv6 address. */
export type IpAddressBits =
  | {readonly family: 'ipv4'; readonly bits: number}
  | {readonly family: 'ipv6'; readonly bits: bigint};

const IPV4_BITS = 32;
/** Longest IPv6 prefix of a block; the remaining bits identify the host. */
const IPV6_BLOCK_BITS = 64;
const BYTE_RANGE = 256;

/** @returns Undefined when the text is not an IP address. */
export function parseIpAddress(text: string): IpAddressBits | undefined {
  if (!ipaddr.isValid(text)) {
    return undefined;
  }
  const address = ipaddr.process(text);
  const bytes = address.toByteArray();
  if (address.kind() === 'ipv4') {
    let bits = 0;
    for (const byte of bytes) {
      bits = bits * BYTE_RANGE + byte;
    }
    return {family: 'ipv4', bits};
  }
  let bits = 0n;
  for (const byte of bytes.slice(0, IPV6_BLOCK_BITS / 8)) {
    bits = bits * BigInt(BYTE_RANGE) + BigInt(byte);
  }
  return {family: 'ipv6', bits};
}

/** Clears the bits after the prefix, which identify the host. */
export function maskIpAddress(
  network: IpAddressBits,
  prefixLength: number,
): IpAddressBits {
  if (network.family === 'ipv4') {
    const blockSize = 2 ** (IPV4_BITS - prefixLength);
    return {family: 'ipv4', bits: network.bits - (network.bits % blockSize)};
  }
  const hostBits = BigInt(IPV6_BLOCK_BITS - prefixLength);
  return {family: 'ipv6', bits: (network.bits >> hostBits) << hostBits};
}

/**
 * Parses a CIDR prefix such as `64.0.0.0/24`.
 *
 * @returns Undefined when the text is no CIDR prefix, or the prefix is longer
 *     than 32 bits for IPv4 or 64 bits for IPv6.
 */
export function parseBlock(
  text: string,
):
  {readonly network: IpAddressBits; readonly prefixLength: number} | undefined {
  const slash = text.lastIndexOf('/');
  if (slash < 0) {
    return undefined;
  }
  const network = parseIpAddress(text.slice(0, slash));
  const prefixLength = Number(text.slice(slash + 1));
  if (!network || !Number.isInteger(prefixLength) || prefixLength < 0) {
    return undefined;
  }
  const maximumPrefixLength =
    network.family === 'ipv4' ? IPV4_BITS : IPV6_BLOCK_BITS;
  if (prefixLength > maximumPrefixLength) {
    return undefined;
  }
  return {network: maskIpAddress(network, prefixLength), prefixLength};
}
