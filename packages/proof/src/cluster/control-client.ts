/** Calls to the control interface of a stand-in's process. */
import {request} from 'undici';
import type {LogEntry} from '@siskinplank/stand-ins';
import type {StandInControl} from './types';

const HTTP_ERROR = 300;

/** Creates the client of a stand-in on a loopback port. */
export function createStandInControl(
  name: string,
  port: number,
): StandInControl {
  const requestJson = async (
    method: string,
    path: string,
    body?: unknown,
  ): Promise<unknown> => {
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      method: method as 'GET',
      headers: body === undefined ? {} : {'content-type': 'application/json'},
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode >= HTTP_ERROR) {
      const reason = `${name} ${method} ${path}: ${response.statusCode} ${text}`;
      return Promise.reject(new Error(reason));
    }
    return text === '' ? undefined : JSON.parse(text);
  };
  return {
    name,
    port,
    requestJson,
    sendFault: async fault => {
      await requestJson('POST', '/control/faults', fault);
    },
    listLog: async (type, fromSequence = 0) => {
      const path = `/control/log?from=${fromSequence}`;
      const {entries} = (await requestJson('GET', path)) as {
        entries: LogEntry[];
      };
      return entries.filter(entry => type === undefined || entry.type === type);
    },
  };
}
