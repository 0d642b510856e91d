/**
 * Identifiers used in configurations, messages and decisions. Each is a branded
 * type, so that the compiler rejects one kind in place of another.
 */
import * as z from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,63}$/;

const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'lower-case letters, digits, dots and dashes, at most 64 characters',
  );

export const regionNameSchema = nameSchema.brand<'RegionName'>();
export const zoneNameSchema = nameSchema.brand<'ZoneName'>();
export const vmIdSchema = nameSchema.brand<'VmId'>();
export const targetIdSchema = nameSchema.brand<'TargetId'>();
export const serviceNameSchema = nameSchema.brand<'ServiceName'>();
export const workspaceNameSchema = nameSchema.brand<'WorkspaceName'>();
export const teamNameSchema = nameSchema.brand<'TeamName'>();
export const templateNameSchema = nameSchema.brand<'TemplateName'>();

export type RegionName = z.infer<typeof regionNameSchema>;
/** Name of an availability zone, unique within its region. */
export type ZoneName = z.infer<typeof zoneNameSchema>;
/**
 * Name of an entry VM in the configuration. A replacement VM keeps the name of
 * its predecessor and has another Incarnation.
 */
export type VmId = z.infer<typeof vmIdSchema>;
export type TargetId = z.infer<typeof targetIdSchema>;
export type ServiceName = z.infer<typeof serviceNameSchema>;
export type WorkspaceName = z.infer<typeof workspaceNameSchema>;
/**
 * Name of a team: one that calls services, which the services' owners approve,
 * or one that owns services.
 */
export type TeamName = z.infer<typeof teamNameSchema>;
export type TemplateName = z.infer<typeof templateNameSchema>;

/** Sequence number of an accepted configuration; increases by one with each. */
export const generationSchema = z.int().nonnegative().brand<'Generation'>();
export type Generation = z.infer<typeof generationSchema>;

/** Unique to one start of one VM's process. */
export const incarnationSchema = z
  .string()
  .min(1)
  .max(64)
  .brand<'Incarnation'>();
export type Incarnation = z.infer<typeof incarnationSchema>;

/** Unique to one request among the requests of one caller. */
export const requestIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9._:-]{1,128}$/)
  .brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

// Constructors of the branded types; they throw a ZodError on invalid values.
export const regionName = (text: string): RegionName =>
  regionNameSchema.parse(text);
export const zoneName = (text: string): ZoneName => zoneNameSchema.parse(text);
export const vmId = (text: string): VmId => vmIdSchema.parse(text);
export const targetId = (text: string): TargetId => targetIdSchema.parse(text);
export const serviceName = (text: string): ServiceName =>
  serviceNameSchema.parse(text);
export const workspaceName = (text: string): WorkspaceName =>
  workspaceNameSchema.parse(text);
export const teamName = (text: string): TeamName => teamNameSchema.parse(text);
export const templateName = (text: string): TemplateName =>
  templateNameSchema.parse(text);
export const generation = (value: number): Generation =>
  generationSchema.parse(value);
export const incarnation = (text: string): Incarnation =>
  incarnationSchema.parse(text);
export const requestId = (text: string): RequestId =>
  requestIdSchema.parse(text);
