export * from './answer_meter.js';
export * from './hold_rule.js';
