/** Stand-ins for the operator, the requesters and the workers. */
import {request, createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

/** The requests that a worker queues beyond its slots. */
const QUEUE = 3;

/** How long callers of `control` wait for a response. */
export const CONTROL_TIMEOUT_MS = 1_000;

/** Sends one request on a new connection; the status is 0 without a response. */
export function call(
  address,
  {method = 'GET', path, headers, body, timeoutMs},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const sent = request(
      {host, port, method, path, headers, agent: false},
      response => {
        let text = '';
        response.on('data', bytes => (text += String(bytes)));
        response.on('error', () => {});
        response.on('close', () => {
          clearTimeout(timer);
          const {statusCode: status, complete: isComplete} = response;
          resolve({status: isComplete ? status : 0, text, response});
        });
      },
    );
    const timer = setTimeout(() => sent.destroy(), timeoutMs);
    sent.on('error', () => {
      clearTimeout(timer);
      resolve({status: 0, text: '', response: null});
    });
    sent.end(body);
  });
}

/** Sends an order to the daemons in turn until one acknowledges it. */
export async function sendOrder(controls, {path, body, withinMs}) {
  const endsAt = performance.now() + withinMs;
  const tries = [];
  for (let turn = 0; performance.now() < endsAt; turn++) {
    const address = controls[turn % controls.length];
    const {status, text} = await call(address, {
      method: 'POST',
      path,
      body,
      headers: {'Content-Type': 'application/json'},
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
    tries.push(status);
    if (status === 200) return {isAcknowledged: true, address, tries, text};
    await sleep(Math.min(500, 50 * 2 ** Math.min(turn, 4)));
  }
  return {isAcknowledged: false, address: null, tries, text: ''};
}

/** Reads the manifest back, at one daemon after the other. */
export async function readManifest(controls, withinMs) {
  const endsAt = performance.now() + withinMs;
  const tries = [];
  for (let turn = 0; performance.now() < endsAt; turn++) {
    const {status, text} = await call(controls[turn % controls.length], {
      path: '/parsleypond/config/get',
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
    tries.push(status);
    if (status === 200) return {version: JSON.parse(text).Version, tries};
    await sleep(100);
  }
  return {version: null, tries};
}

/** A worker: it serves requests and sends liveness reports. */
export class Worker {
  hasLeft = false;
  isDeregistered = false;
  /** Requests that run or wait. */
  active = 0;
  running = 0;
  waiting = [];
  sequence = 0;
  runs = [];

  constructor({id, service, ip, port, slots, workMs, zone, controls, beatMs}) {
    Object.assign(this, {id, service, slots, workMs, zone, controls, beatMs});
    this.address = `${ip}:${port}`;
    this.born = Date.now();
    this.turn = Math.floor(Math.random() * controls.length);
    this.server = createServer((call, response) => this.serve(call, response));
    this.listening = new Promise(resolve =>
      this.server.listen(port, ip, resolve),
    );
  }

  async start() {
    await this.listening;
    void this.sendBeats();
  }

  serve(received, response) {
    const {headers, url} = received;
    const attemptId = headers['x-attempt-id'];
    received.resume();
    response.setHeader('X-Attempt-Id', attemptId ?? '');
    response.setHeader(
      'X-Server-Load',
      `${this.running},${this.waiting.length},${this.slots}`,
    );
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (url === '/healthz') {
      response.setHeader('X-Instance-Id', this.id);
      response.writeHead(200).end();
      return;
    }
    const isFull = this.active >= this.slots + QUEUE;
    this.runs.push({attemptId, at: performance.now(), isFull});
    this.onArrival?.({attemptId, isFull});
    if (isFull) {
      response.setHeader('X-Not-Executed', '1');
      response.writeHead(503).end();
      return;
    }
    this.active++;
    this.waiting.push(() =>
      setTimeout(() => {
        this.active--;
        this.running--;
        this.runNext();
        response.setHeader('X-Response-Stamp', `stamp-${this.id}-${attemptId}`);
        response.end('done');
      }, this.workMs),
    );
    this.runNext();
  }

  /** Runs requests that wait while slots are free. */
  runNext() {
    while (this.running < this.slots && this.waiting.length > 0) {
      this.running++;
      this.waiting.shift()();
    }
  }

  async sendBeats() {
    while (!this.hasLeft && !this.isDeregistered) {
      await this.report('heartbeat', {
        Service: this.service,
        Addr: this.address,
        Zone: this.zone,
        Version: 'v1',
        Slots: this.slots,
        State: 'ready',
        ColdLeftMs: 0,
        Seq: ++this.sequence,
        born: this.born,
      });
      await sleep(this.beatMs);
    }
  }

  /** Reports to one daemon after the other until one acknowledges. */
  async report(what, fields) {
    for (let tried = 0; tried < this.controls.length; tried++) {
      const address = this.controls[this.turn % this.controls.length];
      const {status} = await call(address, {
        method: 'POST',
        path: `/parsleypond/instances/${this.id}/${what}`,
        headers: {'Content-Type': 'application/json'},
        body: JSON.stringify(fields),
        timeoutMs: CONTROL_TIMEOUT_MS,
      });
      if (status >= 200 && status < 300) return address;
      this.turn++;
    }
    return null;
  }

  /** Deregisters first and continues to serve. */
  async deregister() {
    this.isDeregistered = true;
    return this.report('deregister', {born: this.born});
  }

  async stop() {
    this.hasLeft = true;
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
  }
}
