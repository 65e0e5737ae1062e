/** Keeps the configuration in the store in shards under one revision, and follows it. */
export { indexRules, type IndexRulesOptions } from './indexRules.js';
