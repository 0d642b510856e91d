export * from './hold_rule.js';
