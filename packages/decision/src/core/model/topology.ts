/** Regions, links, entry VMs, services and their targets. */
import * as z from 'zod';
import {
  regionNameSchema,
  serviceNameSchema,
  targetIdSchema,
  teamNameSchema,
  vmIdSchema,
  zoneNameSchema,
} from './identifiers.js';

/** An IP address and a port, such as `10.0.1.4:8080` or `[::1]:8080`. */
export const socketAddressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'an IP address and a port, such as 10.0.1.4:8080',
  );

export const regionSchema = z.strictObject({
  name: regionNameSchema,
  zones: z.array(zoneNameSchema).min(1).readonly(),
});

/** The link from one region to another; each direction is a link of its own. */
export const linkSchema = z.strictObject({
  from: regionNameSchema,
  to: regionNameSchema,
  bitsPerSecond: z.number().positive(),
  /** Fraction of the bandwidth that the system may use, 0 to 1. */
  usableFraction: z.number().positive().max(1),
});

export const entryVmSchema = z.strictObject({
  id: vmIdSchema,
  region: regionNameSchema,
  zone: zoneNameSchema,
  callerAddress: socketAddressSchema,
  peerAddress: socketAddressSchema,
  operatorAddress: socketAddressSchema,
});

export const targetSchema = z.strictObject({
  id: targetIdSchema,
  region: regionNameSchema,
  zone: zoneNameSchema,
  address: socketAddressSchema,
  /** Requests that the target can process concurrently. */
  slots: z.int().positive(),
});

export const serviceSchema = z.strictObject({
  name: serviceNameSchema,
  /** Team that owns the targets and approves calling teams. */
  owner: teamNameSchema,
  targets: z.array(targetSchema).readonly(),
});

export const topologySchema = z.strictObject({
  regions: z.array(regionSchema).min(1).readonly(),
  links: z.array(linkSchema).readonly(),
  entryVms: z.array(entryVmSchema).readonly(),
});

export type Region = z.infer<typeof regionSchema>;
export type Link = z.infer<typeof linkSchema>;
export type EntryVm = z.infer<typeof entryVmSchema>;
export type Target = z.infer<typeof targetSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Topology = z.infer<typeof topologySchema>;
