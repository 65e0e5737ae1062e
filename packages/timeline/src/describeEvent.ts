import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

/** What a node did, in the past tense; followed by the subject of the event. */
const ACTIONS: Readonly<Record<TimelineEventKind, string>> = {
  'process-started': 'started',
  'process-stopping': 'began its graceful shutdown',
  'request-accepted': 'accepted the request for',
  'request-refused': 'refused the request for',
  'request-answered': 'answered the request for',
  'request-cancelled': 'cancelled the request of a disconnected caller for',
  'target-chosen': 'chose target',
  'stage-sent': 'sent stage',
  'stage-queued': 'queued stage',
  'stage-started': 'started stage',
  'stage-ended': 'ended stage',
  'stage-retried': 'retried stage',
  'stream-resumed': 'resumed the stream of',
  'target-cold': 'reported a cold start of target',
  'target-ready': 'reported readiness of target',
  'target-down': 'reported an outage of target',
  'target-leaving': 'reported the shutdown of target',
  'target-paused': 'reported a pause of target',
  'link-opened': 'opened the link to',
  'link-closed': 'closed the link to',
  'configuration-in-force': 'activated configuration revision',
  'store-lost': 'lost the connection to the store',
  'store-found': 'regained the connection to the store',
  'version-stopped': 'stopped version',
  'version-moved': 'moved traffic to version',
  'fingerprint-stopped': 'stopped requests with fingerprint',
  'lease-gained': 'acquired the lease',
  'lease-lost': 'lost the lease',
};

/** Describes an event in a sentence, without its time. */
export function describeEvent(event: TimelineEvent): string {
  const parts = [event.nodeName, ACTIONS[event.kind], event.subject].filter(Boolean).join(' ');
  return event.detail ? `${parts} (${event.detail}).` : `${parts}.`;
}
