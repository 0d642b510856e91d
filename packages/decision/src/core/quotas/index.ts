export type {QuotaTolerance} from './bucket_size.js';
export * from './fleet_quotas.js';
export type {QuotaDemandReport} from './quota_shares.js';
