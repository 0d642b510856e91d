/**
 * The configuration document, which operators edit in sections, and the
 * compiled configuration, which VMs route requests by.
 */
import * as z from 'zod';
import {
  type Generation,
  type RegionName,
  type ServiceName,
  type TargetId,
  type VmId,
  type WorkspaceName,
  regionNameSchema,
  serviceNameSchema,
  targetIdSchema,
  teamNameSchema,
  templateNameSchema,
  vmIdSchema,
  workspaceNameSchema,
  zoneNameSchema,
} from './identifiers.js';
import {type ServicePolicy, servicePolicySchema} from './policy.js';
import {
  type EntryVm,
  type Link,
  type Region,
  type Service,
  type Target,
  serviceSchema,
  topologySchema,
} from './topology.js';

/** Milliseconds since the Unix epoch. */
const unixTimeMsSchema = z.number().int().nonnegative();

/** A template parameter: its type, default and allowed values. */
export const parameterDefinitionSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('number'),
    unit: z.string(),
    description: z.string().min(1),
    default: z.number(),
    minimum: z.number(),
    maximum: z.number(),
  }),
  z.strictObject({
    type: z.literal('integer'),
    unit: z.string(),
    description: z.string().min(1),
    default: z.int(),
    minimum: z.int(),
    maximum: z.int(),
  }),
  z.strictObject({
    type: z.literal('choice'),
    description: z.string().min(1),
    default: z.string(),
    choices: z.array(z.string()).min(1).readonly(),
  }),
  z.strictObject({
    type: z.literal('switch'),
    description: z.string().min(1),
    default: z.boolean(),
  }),
]);
export type ParameterDefinition = z.infer<typeof parameterDefinitionSchema>;

export const parameterValueSchema = z.union([
  z.number(),
  z.string(),
  z.boolean(),
]);
export type ParameterValue = z.infer<typeof parameterValueSchema>;

/**
 * A policy template. Any value of a policy may be `{"parameter": "name"}`,
 * which is replaced by the workspace's value or the parameter's default.
 */
export const steeringTemplateSchema = z.strictObject({
  name: templateNameSchema,
  version: z.int().positive(),
  description: z.string(),
  parameters: z.record(z.string(), parameterDefinitionSchema),
  /**
   * Policy of each service; validated as ServicePolicy after the parameters are
   * replaced.
   */
  policies: z.record(serviceNameSchema, z.record(z.string(), z.unknown())),
});
export type SteeringTemplate = z.infer<typeof steeringTemplateSchema>;

/** A workspace: a template version and the values of its parameters. */
export const workspaceInstanceSchema = z.strictObject({
  name: workspaceNameSchema,
  template: templateNameSchema,
  templateVersion: z.int().positive(),
  values: z.record(z.string(), parameterValueSchema),
});
export type WorkspaceInstance = z.infer<typeof workspaceInstanceSchema>;

/** Whether a team may call a service in a workspace. */
export const approvalSchema = z.strictObject({
  workspace: workspaceNameSchema,
  service: serviceNameSchema,
  callingTeam: teamNameSchema,
  state: z.enum(['requested', 'approved', 'revoked']),
  /** Who made the latest request, grant or revocation. */
  decidedBy: z.string().optional(),
  decidedAtMs: unixTimeMsSchema.optional(),
  note: z.string().max(500).optional(),
});
export type Approval = z.infer<typeof approvalSchema>;

/** What a drain takes out of use. */
export const drainScopeSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('target'), target: targetIdSchema}),
  z.strictObject({
    kind: z.literal('service-zone'),
    service: serviceNameSchema,
    region: regionNameSchema,
    zone: zoneNameSchema,
  }),
  z.strictObject({
    kind: z.literal('zone'),
    region: regionNameSchema,
    zone: zoneNameSchema,
  }),
  z.strictObject({kind: z.literal('region'), region: regionNameSchema}),
  z.strictObject({kind: z.literal('entry-vm'), vm: vmIdSchema}),
]);
export type DrainScope = z.infer<typeof drainScopeSchema>;

/** A planned drain. Its effect is a function of these fields and the time. */
export const drainSchema = z.strictObject({
  id: z.string().min(1).max(64),
  scope: drainScopeSchema,
  startAtMs: unixTimeMsSchema,
  /** Time over which the drained fraction rises linearly from 0 to 1. */
  rampMs: z.int().nonnegative(),
  /** When the drained scope starts to take traffic again; never if absent. */
  endAtMs: unixTimeMsSchema.optional(),
  plannedBy: z.string().min(1),
  abortedAtMs: unixTimeMsSchema.optional(),
});
export type Drain = z.infer<typeof drainSchema>;

/**
 * A planned move of client blocks between regions. Its effect is a function of
 * these fields and the time.
 */
export const shiftSchema = z.strictObject({
  id: z.string().min(1).max(64),
  workspace: workspaceNameSchema,
  service: serviceNameSchema.optional(),
  from: regionNameSchema,
  to: regionNameSchema,
  /** Fraction of the blocks with home region `from` that move, 0 to 1. */
  fraction: z.number().min(0).max(1),
  startAtMs: unixTimeMsSchema,
  plannedBy: z.string().min(1),
  abortedAtMs: unixTimeMsSchema.optional(),
});
export type Shift = z.infer<typeof shiftSchema>;

/**
 * Client blocks by home region: CIDR prefixes such as `64.0.0.0/24`, separated
 * by single spaces. One string per region keeps the memory use and validation
 * time of 480,000 blocks low; the block table parses it.
 */
export const clientBlocksSchema = z.record(
  regionNameSchema,
  z.string().regex(/^[0-9a-fA-F.:/ ]*$/),
);
export type ClientBlocks = z.infer<typeof clientBlocksSchema>;

/**
 * A section is the unit of change and of transfer, stored as one
 * content-addressed chunk of at most 1 MB. Section names follow the kind:
 * `topology`, `service/<name>`, `template/<name>`, `workspace/<name>`,
 * `approvals`, `drains`, `shifts`, `client-blocks/<shard>`.
 */
export const sectionSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('topology'), topology: topologySchema}),
  z.strictObject({kind: z.literal('service'), service: serviceSchema}),
  z.strictObject({
    kind: z.literal('template'),
    template: steeringTemplateSchema,
  }),
  z.strictObject({
    kind: z.literal('workspace'),
    workspace: workspaceInstanceSchema,
  }),
  z.strictObject({
    kind: z.literal('approvals'),
    approvals: z.array(approvalSchema).readonly(),
  }),
  z.strictObject({
    kind: z.literal('drains'),
    drains: z.array(drainSchema).readonly(),
  }),
  z.strictObject({
    kind: z.literal('shifts'),
    shifts: z.array(shiftSchema).readonly(),
  }),
  z.strictObject({
    kind: z.literal('client-blocks'),
    shard: z.string().min(1),
    blocks: clientBlocksSchema,
  }),
]);
export type Section = z.infer<typeof sectionSchema>;
export type SectionName = string;

/** All sections of one generation. */
export type ConfigurationDocument = ReadonlyMap<SectionName, Section>;

export {servicePolicySchema};

/** One workspace's policy for one service. */
export interface WorkspaceService {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly policy: ServicePolicy;
}

/** The document of one generation, validated and indexed for routing. */
export interface Configuration {
  readonly generation: Generation;
  readonly regions: ReadonlyMap<RegionName, Region>;
  readonly links: readonly Link[];
  readonly entryVms: ReadonlyMap<VmId, EntryVm>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly targets: ReadonlyMap<
    TargetId,
    {readonly service: ServiceName; readonly target: Target}
  >;
  readonly workspaces: ReadonlyMap<
    WorkspaceName,
    ReadonlyMap<ServiceName, WorkspaceService>
  >;
  readonly approvals: readonly Approval[];
  readonly drains: readonly Drain[];
  readonly shifts: readonly Shift[];
  /** In the order of the sections; indexed by the block table. */
  readonly clientBlocks: readonly ClientBlocks[];
}

/** Name of the section in the document, derived from its content. */
export function sectionNameOf(section: Section): SectionName {
  switch (section.kind) {
    case 'service':
      return `service/${section.service.name}`;
    case 'template':
      return `template/${section.template.name}`;
    case 'workspace':
      return `workspace/${section.workspace.name}`;
    case 'client-blocks':
      return `client-blocks/${section.shard}`;
    case 'topology':
    case 'approvals':
    case 'drains':
    case 'shifts':
      return section.kind;
    default:
      return assertNever(section);
  }
}

/** Makes a switch that does not handle every union member fail to compile. */
export function assertNever(value: never): never {
  throw new Error(`unhandled union member: ${JSON.stringify(value)}`);
}
