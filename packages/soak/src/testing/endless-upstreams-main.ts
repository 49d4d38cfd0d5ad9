/** Runs the upstreams of its argument until it is killed. */
import {
  createEndlessSender,
  renderResponseHead,
  startScriptedServer,
} from '@siskinplank/platform-stand-ins';
import type {ScriptedRequest} from '@siskinplank/platform-stand-ins';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {PORTS_PREFIX} from './endless-upstreams';
import type {UpstreamSpec} from './endless-upstreams';

const EVENT_INTERVAL_MS = 25;
const EVENT_COUNT = 30;

/** Sends events that name the time at which they are written. */
function sendAnswer({
  attemptId,
  lastEventId,
  path,
  socket,
}: ScriptedRequest): void {
  if (!path.startsWith('/stream/')) {
    const head = renderResponseHead(attemptId, 200, ['Content-Length: 4']);
    socket.write(`${head}done`);
    return;
  }
  socket.write(renderResponseHead(attemptId, 200));
  let id = lastEventId;
  const timer = setInterval(() => {
    id += 1;
    socket.write(`id: ${id}\ndata: ${getMonotonicMs()}\n\n`);
    if (id >= EVENT_COUNT) socket.end();
  }, EVENT_INTERVAL_MS);
  socket.once('finish', () => clearInterval(timer));
  socket.once('close', () => clearInterval(timer));
}

async function run(specs: readonly UpstreamSpec[]): Promise<void> {
  const ports: number[] = [];
  for (const {id, models, fault} of specs) {
    const server = await startScriptedServer(id, models);
    server.setScript(sendAnswer);
    ports.push(server.port);
    if (fault === undefined) continue;
    const sender = createEndlessSender(fault);
    server.setInterceptor(request => {
      const hasStarted = sender.tryStart(request);
      if (hasStarted) process.stdout.write(`sending ${request.path}\n`);
      return hasStarted;
    });
  }
  process.stdout.write(`${PORTS_PREFIX}${JSON.stringify(ports)}\n`);
}

void run(JSON.parse(process.argv[2]) as UpstreamSpec[]);
