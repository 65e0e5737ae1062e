/** Operator interface: parsing and comparing rules files, and the HTTP protocol for querying nodes. */
export { sendOperatorRequest, type SendOperatorRequestOptions } from './sendOperatorRequest.js';
export { diffRules, type DiffRulesOptions, type RuleChange } from './diffRules.js';
export { formatRule, formatRules } from './formatRule.js';
export type * from './nodeReport.js';
export {
  type LocatedRule,
  type ParsedRules,
  parseRules,
  type ParseRulesOptions,
} from './parseRules.js';
export { reviewRules, type ReviewRulesOptions } from './reviewRules.js';
export {
  type FindingSeverity,
  formatFinding,
  type RuleFinding,
  type RuleFindingKind,
} from './ruleFinding.js';
export { formatProblem, type RuleProblem } from './ruleProblem.js';
export {
  type OperatorServer,
  startOperatorServer,
  type StartOperatorServerOptions,
} from './startOperatorServer.js';
export {
  createDurationFormat,
  formatInstant,
  formatShare,
  type ValueFormat,
} from './valueFormats.js';
export { getRuleKey } from './getRuleKey.js';
export { sortRules } from './sortRules.js';
