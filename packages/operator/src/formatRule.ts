import type { Rule } from '@galenatiller/types';

import { formatDuration, formatInstant, formatShare } from './valueFormats.js';

/** Writes a rule as its line, with every item and without a newline. */
export function formatRule(rule: Rule): string {
  return `${formatBody(rule)} # asked by ${rule.askedBy}`;
}

/** Writes rules as the text of a rules file. */
export function formatRules(rules: readonly Rule[]): string {
  return rules.map((rule) => `${formatRule(rule)}\n`).join('');
}

function formatBody(rule: Rule): string {
  switch (rule.kind) {
    case 'organisation':
      return `organisation ${rule.name} key-sha256=${rule.keyHashes.join(',')} weight=${rule.weight}`;
    case 'stage': {
      const tokens = rule.work === 'generate' ? ` max-tokens=${rule.maxTokens}` : '';
      const once = rule.idempotent ? '' : ' at-most-once';
      return `stage ${rule.name} ${rule.work} on ${rule.targetGroup}${tokens}${once}`;
    }
    case 'route': {
      const items = `deadline=${formatDuration(rule.deadlineMs)} priority=${rule.priority}`;
      return `route ${rule.name} = ${rule.stages.join(' > ')} ${items}`;
    }
    case 'limit':
      return `limit ${rule.organisation} requests-per-second=${rule.requestsPerSecond} in-flight=${rule.inFlight}`;
    case 'zone':
      return `zone ${rule.name} ${rule.state}`;
    default: {
      const versions = `from=${rule.fromVersion} to=${rule.toVersion}`;
      const items = `by=${formatInstant(rule.byWallMs)} unproven-share=${formatShare(rule.unprovenShare)}`;
      return `move ${rule.targetGroup} ${versions} ${items}`;
    }
  }
}
