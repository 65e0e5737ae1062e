/** Collects what a caller receives of one response. */
export class ReceivedResponse {
  /** Id in the headers of the response. */
  requestId = '';

  /** Id in the body of the response. */
  bodyRequestId = '';

  /** Text or receipt received so far. */
  text = '';

  /** Time to the first non-empty chunk of a stream; -1 when there was none. */
  firstTokenMs = -1;

  /** Times between consecutive non-empty chunks of a stream. */
  readonly tokenGapsMs: number[] = [];

  private lastChunkMs = 0;

  private constructor() {}

  /** Creates a response of which nothing has been received. */
  static create(): ReceivedResponse {
    return new ReceivedResponse();
  }

  /** Records the id from the headers. */
  recordHead(requestId: string): void {
    this.requestId = requestId;
  }

  /** Records the id and text of a complete body; a problem has an empty text. */
  recordBody(requestId: string, text: string): void {
    this.bodyRequestId = requestId;
    this.text += text;
  }

  /** Records a chunk of a stream; `atMs` counts from when the request was sent. */
  recordChunk(requestId: string, text: string, atMs: number): void {
    this.recordBody(requestId, text);
    if (text === '') {
      return;
    }
    if (this.firstTokenMs < 0) {
      this.firstTokenMs = atMs;
    } else {
      this.tokenGapsMs.push(atMs - this.lastChunkMs);
    }
    this.lastChunkMs = atMs;
  }
}
