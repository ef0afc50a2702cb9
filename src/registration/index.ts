export {canDispatch, createRegistration, handleRegistration} from './registration.js';
export type {
	Registration, RegistrationEffect, RegistrationEvent, RouterRowBody,
} from './registration.js';
