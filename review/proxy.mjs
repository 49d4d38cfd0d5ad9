/** TCP proxy that can hold back all bytes, as a partition does. */
import {connect, createServer} from 'node:net';

/** Starts a proxy to one address. */
export async function createProxy(targetHost, targetPort) {
  const pairs = new Set();
  let isCut = false;

  const join = pair => {
    const {client, target} = pair;
    client.pipe(target);
    target.pipe(client);
  };
  const part = ({client, target}) => {
    client.unpipe(target);
    target.unpipe(client);
    client.pause();
    target.pause();
  };
  const server = createServer({pauseOnConnect: true}, client => {
    const target = connect(targetPort, targetHost);
    const pair = {client, target};
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      client.destroy();
      target.destroy();
    };
    for (const socket of [client, target]) {
      socket.setNoDelay();
      socket.on('error', end);
      socket.on('close', end);
    }
    if (!isCut) join(pair);
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: server.address().port,
    setCut: next => {
      if (next === isCut) return;
      isCut = next;
      for (const pair of pairs) (isCut ? part : join)(pair);
    },
    close: () => {
      for (const {client, target} of pairs) {
        client.destroy();
        target.destroy();
      }
      server.close();
    },
  };
}
