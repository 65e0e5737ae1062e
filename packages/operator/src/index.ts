/** What operators write and ask: the rules file and its differences, and reports of nodes. */
export { askNode, type AskNodeOptions } from './askNode.js';
export { diffRules, type DiffRulesOptions, type RuleChange } from './diffRules.js';
export { formatRule, formatRules } from './formatRule.js';
export type * from './nodeReport.js';
export { type ParsedRules, parseRules, type ParseRulesOptions } from './parseRules.js';
export { formatProblem, type RuleProblem } from './ruleProblem.js';
export {
  type OperatorServer,
  serveOperators,
  type ServeOperatorsOptions,
} from './serveOperators.js';
export { durationForm, formatInstant, formatShare, type ValueForm } from './ruleValues.js';
export { ruleKey } from './ruleKey.js';
export { sortRules } from './sortRules.js';
