/** What operators write and ask: the rules file and its differences. */
export { diffRules, type DiffRulesOptions, type RuleChange, ruleKey } from './diffRules.js';
export { formatRule, formatRules } from './formatRule.js';
export { type ParsedRules, parseRules, type ParseRulesOptions } from './parseRules.js';
export { formatProblem, type RuleProblem } from './ruleProblem.js';
