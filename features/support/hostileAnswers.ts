/** Answers of the peers behind a router and a gate, for the feature on callers that keep no limits. */
import type { RequestListener } from 'node:http';

const LARGE_TEXT = 'x'.repeat(400_000);
const EVENTS = 'id: 1\ndata: done by the worker\n\n'.repeat(100);

/** Answers a router: with events for as long as they are read, with a large body or with a small one. */
export const answerAsWorker: RequestListener = (received, response) => {
  received.resume();
  const { url = '', headers } = received;
  const common = { 'X-Request-Id': headers['x-request-id'] ?? '', 'X-Server-Seal': 'seal' };
  if (!url.startsWith('/stream/')) {
    response.writeHead(200, common).end(url.endsWith('/large') ? LARGE_TEXT.repeat(5) : 'done');
    return;
  }
  response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' });
  const sendMore = (): void => {
    while (!response.destroyed && response.write(EVENTS)) {
      // The router takes more events now.
    }
  };
  response.on('drain', sendMore);
  sendMore();
};

/** Answers a gate: with a large text if the body asks for it. */
export const answerAsService: RequestListener = (received, response) => {
  let body = '';
  received.on('data', (bytes) => {
    body += String(bytes);
  });
  received.on('end', () => {
    response.end(JSON.stringify(body.includes('large') ? LARGE_TEXT : 'done'));
  });
};
