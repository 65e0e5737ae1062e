import {
  computeExpectedCompletion,
  computeExpectedPassages,
  computeExpectedReceipt,
  computeExpectedScore,
} from '@galenatiller/fakes';
import type { Configuration, Passage, StageRule } from '@galenatiller/types';

import type { PlannedRequest } from './plannedRequest.js';

/** Number of passages that an entry requests from retrieval. */
const MAX_PASSAGES = 8;

/** Computes the text, or the receipt of a call, that the fakes return without faults. */
export function computeExpectedResult(
  configuration: Configuration,
  planned: PlannedRequest,
): string {
  let passages: readonly Passage[] = [];
  for (const name of planned.route.stages) {
    const stage = configuration.stages.get(name);
    switch (stage?.work) {
      case 'retrieve':
        passages = computeExpectedPassages(planned.prompt, MAX_PASSAGES);
        break;
      case 'rerank':
        passages = rankPassages(planned.prompt, passages);
        break;
      case 'generate':
        return computeGeneratedText(planned.prompt, passages, stage);
      case 'call':
        return computeExpectedReceipt(planned.runKey, JSON.stringify(planned.body));
      default:
        break;
    }
  }
  return '';
}

function rankPassages(query: string, passages: readonly Passage[]): readonly Passage[] {
  return passages
    .map((passage) => ({ ...passage, score: computeExpectedScore(query, passage.text) }))
    .sort((left, right) => right.score - left.score);
}

function computeGeneratedText(
  prompt: string,
  passages: readonly Passage[],
  stage: StageRule,
): string {
  const lines = passages.map((passage) => `[${passage.id}] ${passage.text}\n`);
  return computeExpectedCompletion(`${lines.join('')}${prompt}`, stage.maxTokens);
}
