export * from './fleet_quotas.js';
export type {QuotaDemandReport} from './quota_shares.js';
