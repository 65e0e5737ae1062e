import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

/** What a node did, in the past tense; followed by the subject of the event. */
const ACTIONS: Readonly<Record<TimelineEventKind, string>> = {
  'process-started': 'started',
  'process-stopping': 'began its graceful shutdown',
  'request-accepted': 'accepted the request for',
  'request-refused': 'refused the request for',
  'request-answered': 'answered the request for',
  'request-cancelled': 'lost the caller of the request for',
  'target-chosen': 'chose target',
  'stage-sent': 'sent stage',
  'stage-queued': 'queued stage',
  'stage-started': 'started stage',
  'stage-ended': 'ended stage',
  'stage-retried': 'retried stage',
  'stream-resumed': 'resumed the stream of',
  'target-cold': 'found in cold start target',
  'target-ready': 'found ready target',
  'target-down': 'found down target',
  'target-leaving': 'found leaving target',
  'link-opened': 'opened the link to',
  'link-closed': 'closed the link to',
  'configuration-in-force': 'put in force revision',
  'store-lost': 'lost the store',
  'store-found': 'found the store again',
  'version-stopped': 'stopped version',
  'version-moved': 'moved traffic to version',
  'fingerprint-stopped': 'stopped requests with fingerprint',
  'lease-gained': 'gained the lease',
  'lease-lost': 'lost the lease',
};

/** Describes an event in a sentence, without its time. */
export function describeEvent(event: TimelineEvent): string {
  const parts = [event.nodeName, ACTIONS[event.kind], event.subject].filter(Boolean).join(' ');
  return event.detail ? `${parts} (${event.detail}).` : `${parts}.`;
}
