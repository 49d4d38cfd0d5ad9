/** Steps that inject faults into connections and stand-ins. */
import {z} from 'zod';
import {ProxyDirection} from '@siskinplank/stand-ins';
import {defineStep} from '../types';

const groupSchema = z.array(z.string()).min(1);

/** Holds all bytes between two groups of processes. */
export const partitionStep = defineStep(
  z.strictObject({between: z.tuple([groupSchema, groupSchema])}),
  ({between: [groupA, groupB]}, {cluster}) => cluster.partition(groupA, groupB),
);

/** Ends all faults of connections. */
export const healStep = defineStep(
  z.strictObject({}).nullish(),
  (_, {cluster}) => cluster.heal(),
);

/** Resets the open connections between two processes, whoever opened them. */
export const cutStep = defineStep(
  z.strictObject({
    between: z.tuple([z.string(), z.string()]),
    /** Resets new connections too, until `heal`. */
    refuse: z.boolean().default(false),
  }),
  ({between: [a, b], refuse}, {cluster}) => {
    const fault = {cut: true as const, ...(refuse ? {refuse: true} : {})};
    cluster.getLink(a, b).applyFault(fault);
    cluster.getLink(b, a).applyFault(fault);
  },
);

/** Holds the bytes that flow from one process to another, until `heal`. */
export const holdStep = defineStep(
  z.strictObject({from: z.string(), to: z.string()}),
  ({from, to}, {cluster}) => {
    const {ToTarget, ToClient} = ProxyDirection;
    cluster.getLink(from, to).applyFault({stall: ToTarget});
    cluster.getLink(to, from).applyFault({stall: ToClient});
  },
);

/** Applies a fault of a proxy to the connections of one process to another. */
export const linkFaultStep = defineStep(
  z.strictObject({
    from: z.string(),
    to: z.string(),
    fault: z.record(z.string(), z.unknown()),
  }),
  ({from, to, fault}, {cluster}) => cluster.getLink(from, to).applyFault(fault),
);

/** Sends a fault command to a stand-in. */
export const standInFaultStep = defineStep(
  z.strictObject({
    standIn: z.string(),
    fault: z.record(z.string(), z.unknown()),
  }),
  ({standIn, fault}, {cluster}) => cluster.getStandIn(standIn).sendFault(fault),
);
