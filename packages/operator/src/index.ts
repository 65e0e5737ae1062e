/** What operators write and ask: the rules file and its differences, and reports of nodes. */
export { sendOperatorRequest, type SendOperatorRequestOptions } from './sendOperatorRequest.js';
export { diffRules, type DiffRulesOptions, type RuleChange } from './diffRules.js';
export { formatRule, formatRules } from './formatRule.js';
export type * from './nodeReport.js';
export { type ParsedRules, parseRules, type ParseRulesOptions } from './parseRules.js';
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
